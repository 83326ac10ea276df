Feature: The deployment's programs serve jobs of steps end to end

  Runs real processes on loopback addresses, with targets, operators and callers that
  use the platform's interfaces.

  Background:
    Given three core machines, two entries and targets of two pools

  Scenario: A job is accepted, run and shown as completed
    When the operator sends a manifest with version 3
    And a caller submits a job of two steps with three tasks each
    Then the job is shown as "completed" through every entry within 5 seconds
    And each of its tasks was started once, in the order of the steps

  Scenario: Invalid requests are refused
    When the operator sends a manifest with version 3
    Then a job without a key gets 401
    And a job with an unknown key gets 401
    And a job for a path without a queue gets 404
    And a job that cannot be decoded gets 400
    And the state of a job that was never submitted gets 410

  Scenario: The leader is killed while a job runs
    When the operator sends a manifest with version 3
    And a caller submits a job whose tasks take 2 seconds
    And the leader is killed
    Then the job is shown as "completed" through every entry within 8 seconds
    And no task of it ran twice concurrently, or again after completion

  Scenario: A manifest is never replaced by an older one
    When the operator sends a manifest with version 3
    And the operator sends a manifest with version 7
    And the operator sends a manifest with version 5
    Then every core machine returns the manifest with version 7, or an error
    When every core machine is killed and started again
    Then within 6 seconds every core machine returns the manifest with version 7

  Scenario: A core machine that lost its disk votes again, and the other may be lost
    When the operator sends a manifest with version 3
    And a core machine that does not lead is killed, loses its disk and starts again
    And the 4 seconds pass in which it may catch up
    And the operator sends a manifest with version 4
    And the leader is killed
    Then within 6 seconds the operator can send a manifest with version 5

  # Guards against processes that end, and targets that are lost, by one odd report.
  Scenario: Odd status reports among those of the targets change nothing
    When the operator sends a manifest with version 3
    And a caller submits a job of two steps with three tasks each
    Then the job is shown as "completed" through every entry within 5 seconds
    When another writer sends odd status reports of every target
    Then each of them is refused
    When each target leaves and another one starts on its host
    And a caller submits a job of two steps with three tasks each
    Then the job is shown as "completed" through every entry within 5 seconds
    And each of its tasks was started once, in the order of the steps
    And no program has ended by itself

  Scenario: A cancelled job is stopped
    When the operator sends a manifest with version 3
    And a caller submits a job of long-running tasks
    And the tasks of the job run
    And the caller cancels the job
    Then the job is shown as "cancelled" through every entry within 2 seconds
    And none of its tasks is running 2 seconds later

  Scenario: A stopped entry leaves the rotation and completes its requests
    When the operator sends a manifest with version 3
    And an entry is stopped while callers keep sending requests to it
    Then its readiness turns to 503 within 1 second
    And every request that it had read is answered completely
    And it exits with code 0 within 6 seconds

  Scenario: An entry that reaches no core machine leaves the rotation and refuses at once
    When the operator sends a manifest with version 3
    And every core machine is suspended
    Then the readiness of every entry turns to 503 within 2 seconds
    And a job is refused with 503 within 1 second
    When the core machines resume
    Then every entry is ready again within 6 seconds
