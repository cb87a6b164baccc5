Feature: Requests, gang jobs and catalogue changes across entry processes

  Background:
    Given two failure domains with two entry processes each

  Scenario Outline: A request sent to any entry process is answered
    When a pricing run is sent to "<entry>"
    Then it is answered with the outcome done

    Examples:
      | entry        |
      | east-entry-1 |
      | east-entry-2 |
      | west-entry-1 |

  Scenario: A gang job submitted to one entry process is visible at another and finishes
    When a gang of 2 members with 8 accelerators each is submitted to "west-entry-1"
    Then all its members run on adjacent accelerators, as seen from "east-entry-2"
    And it finishes with the answers of 2 members, as seen from "west-entry-2"

  Scenario: A catalogue change applied at one entry process is in force at all
    When the job limit of the team is changed at "west-entry-2"
    Then the change is in force at every entry process
