Feature: Behaviour when processes are killed, frozen or stopped

  Background:
    Given two failure domains with two entry processes each

  Scenario: A gang keeps running when the holder of its failure domain is killed
    When a long-running gang of 2 members with 8 accelerators each is submitted to "west-entry-1"
    And all its members run on adjacent accelerators, as seen from "west-entry-1"
    And the holder of "east" is killed and replaced by "east-entry-3"
    Then it finishes with the answers of 2 members, as seen from "west-entry-2"
    And each of its members was started once

  Scenario: A holder that is frozen until its lease has expired starts no member again when it resumes
    When a long-running gang of 2 members with 8 accelerators each is submitted to "west-entry-1"
    And all its members run on adjacent accelerators, as seen from "west-entry-1"
    And the holder of "east" is frozen for 9 seconds
    Then it finishes with the answers of 2 members, as seen from "west-entry-2"
    And each of its members was started once

  Scenario: While the key-value service is unavailable, idempotent requests are answered and others are confirmed as not run
    When the key-value service is unavailable
    Then a chart preview sent to "west-entry-1" is answered
    And a pricing run sent to "west-entry-2" is answered as not run
    And the key-value service is restored

  Scenario: A draining worker receives no new requests
    When the worker "west-1" starts draining
    Then eventually no further request is sent to "west-1"

  Scenario: A planned stop of an entry process interrupts no request
    When "west-entry-2" receives SIGTERM while 40 requests to it are in progress
    Then all 40 requests are answered
    And "west-entry-2" exits with code 0
