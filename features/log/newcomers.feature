Feature: Newcomers join while all core machines are replaced

  # The daemons and their connections are real, the time and the wires aren't. Settings
  # name three machines of a list that is some seconds old, none of which leads.

  Scenario Outline: A successor whose seeds don't lead is no member when the next machine is lost
    Given 5 core machines and seed <seed>
    When <count> machines are replaced one by one, always <which>, with seeds <turnover>
    Then each successor was a voter or a standby within 4 seconds of its start
    And nothing failed

    Examples:
      | seed | count | which      | turnover   |
      | 1    | 6     | the oldest | that lag   |
      | 2    | 6     | the leader | that lag   |
      | 3    | 6     | any        | that lag   |
      | 4    | 6     | the oldest | that stay  |
      | 5    | 6     | any        | that stay  |
