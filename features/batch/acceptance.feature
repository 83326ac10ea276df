Feature: A reply tells what a change did, not that it was committed

  # Guards against 200 for a job that is recorded nowhere.
  Scenario: A job is submitted while a manifest without its queue is committed
    Given a leader with a service for callers
    When a manifest that drops the queue and a job for it share a cycle
    Then the submission is answered "no-queue"
    And the job is recorded nowhere, and its state is asked for as "no-queue"

  Scenario: A job is submitted twice while a manifest without its queue is committed
    Given a leader with a service for callers
    When a manifest that drops the queue and two submissions of one job share a cycle
    Then both submissions are answered "no-queue"

  Scenario: A job is cancelled while its record is removed
    Given a leader with a service for callers
    When the removal of an ended job's record and its cancellation share a cycle
    Then the cancellation is answered "no-job"

  Scenario: A change that had no effect is not passed on as committed
    Given a leader with a service for callers
    When a manifest that drops the queue and a job for it share a cycle
    Then the leader's tasks were told of the manifest only

  # Guards against accepted jobs that are gone, and against requests without an answer.
  Scenario: Accepted jobs stay, and refused ones have no effect, in random histories
    Then in 150 random histories of callers, manifests and leaders each request gets one answer that stays true
