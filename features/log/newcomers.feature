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
      | 5    | 6     | any        | that stay  |

  Scenario: A newcomer that reaches only another newcomer is never told who leads
    Given 5 core machines and seed 11
    When 5 machines are replaced one by one, always the oldest, with seeds that lag
    And two newcomers start, of which one knows the other, and both lost machines
    And 2 seconds later the other one gets seeds that don't lead
    Then each successor was a voter or a standby within 4 seconds of its start
    And nothing failed

  Scenario Outline: A removed member that returns <how> is never added again
    Given 5 core machines and seed <seed>
    When a member is <lost>
    And 5 machines are replaced one by one, always the oldest, with seeds that lag
    And the member is removed
    And the member returns <how>
    Then each successor was a voter or a standby within 4 seconds of its start
    And nothing failed

    Examples:
      | seed | lost         | how                    |
      | 12   | switched off | with its old disk      |
      | 13   | switched off | with an empty disk     |
      | 14   | cut off      | before it gets seeds   |

  Scenario: An entry that was cut off while all were replaced finds no leader
    Given 5 core machines and seed 15
    When an entry is cut off
    And 5 machines are replaced one by one, always the oldest, with seeds that lag
    And the entry returns, and gets seeds that don't lead 3 seconds later
    Then it reaches the leader within 2 seconds
    And nothing failed
