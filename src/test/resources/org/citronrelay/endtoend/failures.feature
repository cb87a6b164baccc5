Feature: What must hold when processes die, freeze and stop

  Background:
    Given two failure domains with two entry processes each

  Scenario: A gang goes on when the holder of its failure domain is killed
    When a long gang of 2 members with 8 accelerators each is submitted to "west-entry-1"
    And it runs whole on adjacent accelerators, as "west-entry-1" can see
    And the holder of "east" is killed and replaced by "east-entry-3"
    Then it finishes with the answers of 2 members, as "west-entry-2" can see
    And each of its members was started once

  Scenario: A holder that is frozen past its lease does no harm when it wakes up
    When a long gang of 2 members with 8 accelerators each is submitted to "west-entry-1"
    And it runs whole on adjacent accelerators, as "west-entry-1" can see
    And the holder of "east" is frozen for 9 seconds
    Then it finishes with the answers of 2 members, as "west-entry-2" can see
    And each of its members was started once

  Scenario: While the platform is down, idempotent requests are answered and others are surely not run
    When the key-value service is down
    Then a chart preview sent to "west-entry-1" is answered
    And a pricing run sent to "west-entry-2" is told that it did not run
    And the key-value service is up again

  Scenario: A worker that says it is leaving receives nothing new
    When the worker "west-1" starts to refuse new work
    Then after a few seconds no request is sent to "west-1" any more

  Scenario: A planned stop cuts no request
    When "west-entry-2" is told to stop while 40 requests are in progress there
    Then all 40 are answered
    And "west-entry-2" exits with code 0
