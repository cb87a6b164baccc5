Feature: The whole path, as separate processes

  Background:
    Given two failure domains with two entry processes each

  Scenario Outline: A request sent to any entry process is answered
    When a pricing run is sent to "<entry>"
    Then it is answered whole

    Examples:
      | entry        |
      | east-entry-1 |
      | east-entry-2 |
      | west-entry-1 |

  Scenario: A gang job submitted to one entry process is visible at another and finishes
    When a gang of 2 members with 8 accelerators each is submitted to "west-entry-1"
    Then it runs whole on adjacent accelerators, as "east-entry-2" can see
    And it finishes with the answers of 2 members, as "west-entry-2" can see

  Scenario: A catalogue change applied at one entry process is in force at all
    When the limit of the team is changed at "west-entry-2"
    Then the change is in force at every entry process
