Feature: Every durable start is ordered, or ends so that its task starts again

  # Guards against tasks that neither run nor wait, on a leader that stays in its term.
  Scenario Outline: A job ends although <what>
    Given an idle fleet on which <what>
    When a job of 3 tasks of 4 cores with label "" is submitted
    And 4 seconds pass on the fleet
    Then the job has ended
    And no invariant was violated on the fleet
    And each run was started on the target that the log names

    Examples:
      | what                                                                     |
      | starts are committed 0.5 seconds after the leader has regained its lease |
      | starts are committed 5 ms after the leader has regained its lease        |
      | an error interrupts the orders of a change set                           |
      | the first order of a start raises an error                               |
      | the end of a refused start can't be committed at first                   |
      | starts are committed after their outcome counted as unknown              |
      | the leader has no lease while it orders starts                           |

  # Guards against tasks that run twice: a start under way counted as fenced off.
  Scenario: A start is under way when the leader loses and regains its lease in one term
    Given an idle fleet whose tasks take 2 seconds
    And a start that arrives 0.4 seconds late, while the leader has no lease for 0.1
    When a job of 1 tasks of 4 cores with label "" is submitted
    And 6 seconds pass on the fleet
    Then the job has ended
    And no invariant was violated on the fleet

  # Guards against ends reported by a leader that stood still and was replaced meanwhile.
  Scenario: A leader that has lost its lease but doesn't know yet takes no lists
    Given an idle fleet
    When a job of 3 tasks of 4 cores with label "" is submitted
    And the leader loses its lease and takes no notice for 3 seconds
    Then it has proposed no change meanwhile
