Feature: A target that was excluded returns on trial, and is not closed for good

  Background:
    Given an idle fleet with fixed pools, and two targets with label "b"

  # Guards against a job that never starts: a long-running task as the trial.
  Scenario: A target whose trial is a long-running task takes other work again
    When these targets shed all starts for 4 seconds
    And a job of 2 long-running tasks with label "b" is submitted, one for each target
    And 13 seconds pass on the fleet
    Then each of these targets runs 1 task
    When a job of 3 tasks of 4 cores with label "b" is submitted
    And 2 seconds pass on the fleet
    Then the job has ended

  # Guards against a job that waits for a task of a minute that is the trial.
  Scenario: A target whose trial is a long task takes other work after a while
    When these targets shed all starts for 4 seconds
    And a job of 2 tasks of 60 seconds with label "b" is submitted, one for each target
    And 13 seconds pass on the fleet
    Then each of these targets runs 1 task
    When a job of 3 tasks of 4 cores with label "b" is submitted
    And 2 seconds pass on the fleet
    Then the job has ended

  # Guards against a trial that waits for the end of what ran before the exclusion.
  Scenario: A target that ran a long-running task before it shed is tried again
    When a job of 2 long-running tasks with label "b" is submitted, one for each target
    And 2 seconds pass on the fleet
    Then each of these targets runs 1 task
    When these targets shed all starts for 4 seconds
    And a job of 3 tasks of 4 cores with label "b" is submitted
    And 13 seconds pass on the fleet
    Then the job has ended

  Scenario: A target on trial gets one task at a time until one is done
    When these targets shed all starts for 4 seconds
    And a job of 40 tasks of 4 cores with label "b" is submitted
    And 13 seconds pass on the fleet
    Then the job has ended
    And each of these targets ran one task alone first
