@entries.2
Feature: Outcomes are honest and a request that must not be repeated runs once

  Background:
    Given service "payouts" that is not repeatable, on a scripted target

  Scenario Outline: No whole answer is no success, and the resend does not run
    Given the target's next answer is "<behaviour>"
    When request "r1" is sent through "entry-1" with a deadline of 300 ms
    Then the call is refused with <status> "<code>" and outcome "unknown"
    When request "r1" is sent through "entry-2" with a deadline of 300 ms
    Then the call is refused with 409 "conflict" and outcome "unknown"
    And the target has run 1 requests

    Examples:
      | behaviour | status | code          |
      | reset     | 502    | target-failed |
      | truncated | 502    | target-failed |
      | wrong id  | 502    | target-failed |
      | mixed     | 502    | target-failed |
      | no length | 502    | target-failed |
      | late      | 504    | deadline      |
      | silent    | 504    | deadline      |

  Scenario: A resend through another entry gets the kept answer
    When request "r1" is sent through "entry-1"
    And request "r1" is sent through "entry-2"
    Then the answer is 200 with "echo:r1"
    And the target has run 1 requests

  Scenario: A resend waits for the running one
    Given the target takes 200 ms
    When request "r1" is sent through "entry-1" and "entry-2" at once
    Then every reply is 200 with "echo:r1"
    And the target has run 1 requests

  Scenario: A resend waits no longer than its deadline
    Given the target takes 1500 ms
    When request "r1" is begun through "entry-1"
    And request "r1" is sent through "entry-2" with a deadline of 100 ms
    Then the call is refused with 504 "deadline" and outcome "unknown"
    And the begun request is answered with "echo:r1"
    And the target has run 1 requests

  Scenario: Another request under the same id is refused
    When request "r1" is sent through "entry-1"
    And request "r1" with body "other" is sent through "entry-2"
    Then the call is refused with 409 "conflict" and outcome "unknown"

  Scenario: Nothing sent is told as not run, and the resend may run
    Given the target listens no more
    When request "r1" is sent through "entry-1"
    Then the call is refused with 502 "target-failed" and outcome "not-run"
    Given the target listens again
    When request "r1" is sent through "entry-2"
    Then the answer is 200 with "echo:r1"
    And the target has run 1 requests

  Scenario Outline: Lost proposals make no second run and no false outcome
    Given "entry-1" loses the outcomes of "<command>" as "<fates>"
    When request "r1" is sent through "entry-1"
    Then the answer is 200 with "echo:r1"
    When request "r1" is sent through "entry-2"
    Then the answer is 200 with "echo:r1"
    And the target has run 1 requests

    Examples:
      | command           | fates                        |
      | Reserve           | applied                      |
      | Reserve           | not-applied,applied          |
      | SettleReservation | applied,applied              |
      | SettleReservation | not-applied,not-applied      |

  Scenario: A lost settlement of one claim does not settle the next one
    Given the target listens no more
    And "entry-1" loses the outcomes of "SettleReservation" as "applied,applied,applied"
    When request "r1" is sent through "entry-1"
    Given the target listens again
    And the target takes 200 ms
    When request "r1" is begun through "entry-1"
    And request "r1" is sent through "entry-2"
    Then the answer is 200 with "echo:r1"
    And the begun request is answered with "echo:r1"
    And the target has run 1 requests

  Scenario: An entry is lost in the middle of a call
    Given the target takes 1500 ms
    When request "r1" is begun through "entry-2"
    And the target has begun a request
    And "entry-2" is cut off and its session is closed
    And request "r1" is sent through "entry-1"
    Then the call is refused with 409 "conflict" and outcome "unknown"
    And the target has run 1 requests

  Scenario: An isolated entry refuses, and does not say that a resend never ran
    When "entry-2" is cut off
    And request "r1" is sent through "entry-2"
    Then the call is refused with 503 "not-fresh" and outcome "unknown"
    And the target has run 0 requests

  Scenario: A caller goes away in the middle of its call
    Given the target takes 200 ms
    When request "r1" is begun through "entry-1" and its caller goes away
    And request "r1" is sent through "entry-2"
    Then the answer is 200 with "echo:r1"
    And the target has run 1 requests
    And no entry has a claim in use

  Scenario: An old answer is dropped while it stays known that the request ran
    When request "r1" is sent through "entry-1"
    And kept answers are forgotten
    And request "r1" is sent through "entry-2"
    Then the call is refused with 409 "conflict" and outcome "ran"
    And the target has run 1 requests

  Scenario: A request without an id is refused
    When a request without an id is sent through "entry-1"
    Then the call is refused with 400 "bad-request" and outcome "not-run"

  Scenario: A closed session is replaced and its loans are not used
    When request "r1" is sent through "entry-1"
    And the session of "entry-1" is closed
    And request "r2" is sent through "entry-1"
    Then the answer is 200 with "echo:r2"
    And "entry-1" has a session of another name
