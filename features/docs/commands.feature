Feature: The commands in the docs do what the docs say

  Scenario: A first quarter of an hour from the README, then the operators' pages
    Given a folder with the examples
    When the commands of "README.md" are run
    Then "status" shows "leader"
    And the last call was answered with "echo:plan for van 7"
    When the commands of "docs/operations/cordon-a-host.md" are run
    Then "host show host-2" shows "serving"
    And "wave preview interior" shows "host-1"
    When the commands of "docs/operations/service-level-burn.md" are run
    Then "report" shows "route-plans"
    When the commands of "docs/operations/key-rotation.md" are run
    Then "key list" shows "dispatch"

  Scenario: Every page that the docs name is there
    Then every link in the docs leads to a file

  Scenario: Every command that the docs name is a command
    Then every command in the docs has a help text with an example

  Scenario: Every value of a service document and of the settings is documented
    Then "docs/SERVICES.md" names every value of a service document
    And "docs/SETTINGS.md" names every value of the settings

  Scenario: Every route and every code is documented, and no other
    Then "docs/API.md" names every route of the daemon and no other
    And "docs/API.md" names every code with its status

  Scenario: Every scenario that a promise names is there
    Then every scenario in "docs/PROMISES.md" is in its suite
