Feature: A leave ends the incarnation that left, and no later one

  # Guards against tasks that run twice: the leave of an earlier process arrives late.
  Scenario Outline: A leave <what> arrives while a target has runs
    Given an idle fleet whose tasks take 5 seconds
    When a job of 3 tasks of 4 cores with label "" is submitted
    And a leave <what> arrives from each target
    And 8 seconds pass on the fleet
    Then tasks were started again: <again>
    And the job has ended

    Examples:
      | what                                    | again |
      | of an earlier process                   | no    |
      | without a start, of one that is ready   | no    |
      | without a start, of one that drains     | yes   |
      | of the present process                  | yes   |

  Scenario: A target that is ready leaves without a word, and its runs start elsewhere
    Given an idle fleet whose tasks take 5 seconds
    When a job of 3 tasks of 4 cores with label "" is submitted
    And the targets with runs end after a leave that does not tell their start
    And 14 seconds pass on the fleet
    Then the job has ended
