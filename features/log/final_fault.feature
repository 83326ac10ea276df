Feature: What was acknowledged outlives a fault of all members

  Data folders are real files. Members are cut off, stopped, added, replaced and lose
  their disks; then, right after an acknowledgement, all stop at once and as many disks
  are lost as may be.

  Scenario Outline: After the final fault a leader is back in time and holds it all
    When seeds 1 to <last> of <members> members end with a final fault
    Then each has a leader within 15 s that holds all that was acknowledged
    And together they had <snapshots> snapshots read and <disks> disks lost at least

    Examples:
      | members | last | snapshots | disks |
      | 9       | 6    | 6         | 2     |
      | 5       | 12   | 6         | 2     |

  Scenario Outline: The check finds a defect in the program
    When the defect "<defect>" is played with 5 members from seed <seed>
    Then one of the first 3 runs finds it

    Examples:
      | defect                             | seed |
      | acknowledge_early                  | 29   |
      | wiped_keeps_name                   | 60   |
      | writes without a sync              | 10   |
      | the leader's entry before its sync | 136  |
      | a commit by one voter too few      | 45   |
