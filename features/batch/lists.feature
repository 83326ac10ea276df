Feature: What an incomplete list does not show is not taken for ended

  # Guards against tasks that run twice: ends on a later page counted as lost runs.
  Scenario: A new leader reads more ends than one list holds
    Given an idle fleet whose tasks take 5 seconds
    When a job of 1100 tasks that fit on one target is submitted
    And the leader is replaced while all of them end
    And 8 seconds pass on the fleet
    Then every task of it was started once
    And the job has ended

  # Guards against the same after a silence that the leader outlasts.
  Scenario: A target lists more ends than one list holds after a silence
    Given an idle fleet whose tasks take 5 seconds
    When a job of 1100 tasks that fit on one target is submitted
    And their target is cut off while all of them end
    And 8 seconds pass on the fleet
    Then every task of it was started once
    And the job has ended

  # Guards against runs that are started again while their host is on an unread page.
  Scenario Outline: A silent target whose host is missing from a list that is <state>
    Given an idle fleet whose tasks take 5 seconds
    When a job of 3 tasks of 4 cores with label "" is submitted
    And the cloud's lists lack the host of one of its tasks and are <state>
    And that host is cut off for 3 seconds
    Then tasks were started again: <again>

    Examples:
      | state      | again |
      | complete   | yes   |
      | incomplete | no    |

  # Guards against the refusal of a job whose host is on an unread page.
  Scenario: A job with a label that no host on the pages read has is accepted
    Given an idle fleet whose cloud lists its hosts incompletely
    When a job of 1 tasks of 4 cores with label "zz" is submitted
    Then it is accepted
