Feature: From the identifier of a failed job to its cause

  Real processes, and the commands of docs/OPERATIONS.md on what they logged.

  Background:
    Given three core machines, two entries and targets of two pools
    And the operator has sent a manifest with version 3

  Scenario: A request is refused though there is room
    When all core machines but the leader are killed
    And a caller submits a job that is refused
    Then the commands of docs/OPERATIONS.md show "not accepted: unavailable"
    And the deciding line is "request answered" with "why" containing "no leader"

  Scenario: A job is accepted and late
    When a caller submits a job whose tasks take 1 seconds
    And the target of one of its tasks crashes and another replaces it
    And the job is shown as "completed" through every entry within 12 seconds
    Then the commands of docs/OPERATIONS.md show "ms late"
    And the deciding line is "run ended" with "how" containing "lapsed"

  Scenario: A job fails
    When a caller submits a job that fails on every target
    And the job is shown as "failed" through every entry within 8 seconds
    Then the commands of docs/OPERATIONS.md show "failed after"
    And the deciding line is "run ended" with "how" containing "failed"

  Scenario: Metrics tell who leads and what became of requests
    When a caller submits a job of two steps with three tasks each
    And the job is shown as "completed" through every entry within 5 seconds
    Then one core machine reports that it leads, and counts 6 completed runs
    And the entries count a submitted job

  Scenario: A reader of the logs that stands still stops no request
    When nothing reads the logs of an entry
    Then 4000 requests through it are answered

  Scenario: Every line that the programs may log is in the docs
    Then docs/OPERATIONS.md names every message of the platform's programs
