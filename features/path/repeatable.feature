@entries.2
Feature: Repeatable calls are retried, shared out and kept within every limit

  Background:
    Given service "route-plans" that is repeatable, on a scripted target

  Scenario Outline: A failed try is repeated within the deadline
    Given the target's next answer is "<behaviour>"
    When request "r1" is sent through "entry-1"
    Then the answer is 200 with "echo:r1"
    And the target has run 2 requests

    Examples:
      | behaviour |
      | reset     |
      | truncated |
      | wrong id  |
      | mixed     |

  Scenario: A late answer reaches nobody
    Given the target's next answer is "late"
    When request "r1" is sent through "entry-1" with a deadline of 150 ms
    Then the call is refused with 504 "deadline" and outcome "unknown"
    When request "r2" is sent through "entry-1"
    Then the answer is 200 with "echo:r2"
    And the target was connected to 2 times

  Scenario: Calls with too little time do not speak against the target
    Given the target takes 100 ms
    When request "r1" is sent through "entry-1"
    And 5 requests with a deadline of 20 ms are sent through "entry-1"
    Then "entry-1" has noted no failure of a target

  Scenario: Failures of a target are noted
    Given the target's next answer is "reset"
    And the target's next answer is "reset"
    And the target's next answer is "reset"
    And the target's next answer is "reset"
    When request "r1" is sent through "entry-1"
    Then the call is refused with 502 "target-failed" and outcome "unknown"
    And "entry-1" has noted a failure of a target

  Scenario: Connections are used again
    When request "r1" is sent through "entry-1"
    And request "r2" is sent through "entry-1"
    Then the target was connected to 1 times

  Scenario: Large bodies pass in both directions
    Given the target's next answer is "large"
    When 3000000 bytes are sent through "entry-1"
    Then the answer is 200 with 3000000 bytes
    And the target has got 3000000 bytes

  Scenario: A large answer that is cut off is no success
    Given the target's next answer is "large truncated"
    When request "r1" is sent through "entry-1"
    Then the caller's connection is cut

  Scenario: A caller that does not read holds no slot beyond its deadline
    Given the target's next answer is "huge"
    When a caller that does not read sends "r1" with a deadline of 500 ms
    Then its connection is cut within 5 s and the answer is not whole
    And no entry has a claim in use

  Scenario: A body over the service's bound is refused
    When 5000000 bytes are sent through "entry-1"
    Then the call is refused with 413 "too-large" and outcome "not-run"
    And the target has run 0 requests

  Scenario Outline: A request over a bound of the server is refused at once
    When a raw request with <what> of <size> bytes is sent
    Then the raw answer begins with "HTTP/1.1 <status>"

    Examples:
      | what     | size        | status |
      | a header | 70000       | 431    |
      | a body   | 99999999999 | 413    |

  Scenario Outline: A bad number is named
    When "<method>" "<path>" is sent with "<header>" as "<value>"
    Then the refusal is 400 and names "<place>" and "<text>"

    Examples:
      | method | path                                      | header        | value | place         | text |
      | POST   | /v1/services/route-plans/calls/x          | X-Deadline-Ms | soon  | X-Deadline-Ms | soon |
      | POST   | /v1/services/route-plans/calls/x          | X-Deadline-Ms | -5    | X-Deadline-Ms | -5   |
      | POST   | /v1/services/route-plans/calls/x          | X-Deadline-Ms | 0     | X-Deadline-Ms | 0    |
      | POST   | /v1/queues/route-plans/take?target=route-plans-t0&wait_s=nan | Accept | x | wait_s | nan |

  Scenario: Two entries share the last slot of a target
    Given the target has 1 slot
    And the target takes 10 ms
    When 20 requests are sent through each entry
    Then every reply is 200
    And the target never ran more than 1 at once

  Scenario: Slots that one entry hoards go to the one that needs them
    Given the target takes 20 ms
    When 16 requests are sent through "entry-1"
    And 16 requests are sent through "entry-2"
    Then every reply is 200
    And the target never ran more than 8 at once

  Scenario: A restarted target gets calls again
    When request "r1" is sent through "entry-1"
    And the target is announced as a new process
    And 16 requests are sent through "entry-2"
    Then every reply is 200

  Scenario: A key is withdrawn while a call waits
    Given the target has 1 slot
    And the target takes 1500 ms
    When request "r1" is begun through "entry-1"
    And request "r2" is begun through "entry-1"
    And the service's key is withdrawn
    Then the begun request is refused with 401 "bad-key" and outcome "not-run"
    And it did not wait for the one that runs
    And the target has run 1 requests

  Scenario: A key is withdrawn between submit and take
    When a job is taken while the key that takes it is withdrawn
    Then the call is refused with 401 "bad-key" and outcome "not-run"

  Scenario: Jobs get slots while calls fill the pool
    Given the target takes 20 ms
    When a job is taken while calls fill the pool
    Then the job is taken

  Scenario: A planned stop cuts off no call and hands back every loan
    Given the target takes 200 ms
    When request "r1" is begun through "entry-2"
    And "entry-2" is stopped
    Then it has cut off 0 requests and holds no session
    And the begun request is answered with "echo:r1"

  Scenario: A hurried stop says what it cut off
    Given the target's next answer is "silent"
    When request "r1" is begun through "entry-2"
    And "entry-2" is stopped in a hurry
    Then it has cut off 1 requests

  Scenario: A stopping entry takes no new work
    Given the target takes 200 ms
    When request "r1" is begun through "entry-2"
    And "entry-2" begins to stop
    And request "r2" is sent through "entry-2"
    Then the call is refused with 503 "stopping" and outcome "not-run"
    And "entry-2" is not ready
