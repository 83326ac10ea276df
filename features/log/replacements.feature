Feature: Machines are lost for good, one after the other

  Each is followed by a successor with a new name and an empty disk. As many machines are
  away at a time as the settings allow, each until the catch-up time after it or its
  successor started. Some are the leader, some are replaced as planned, others lose their
  disk, are cut off, frozen or stopped, or all lose power.

  Scenario Outline: The core keeps its quorum in random histories
    When seeds <first> to <last> of "<size>" play a history of replacements
    Then after each step a leader, all entries, and the losses to bear are there
    And together at least <losses> machines were lost

    Examples:
      | size | first | last | losses |
      | 5-1  | 101   | 104  | 40     |
      | 5-2  | 101   | 104  | 60     |
      | 9-2  | 101   | 102  | 30     |

  Scenario: The last of 200 leaders is replaced like the first
    When 200 leaders of "5-1" are lost, one after the other
    Then after each step a leader, all entries, and the losses to bear are there
    And each successor was of use within 4 s
