@http
Feature: Jobs and usage over HTTP

  Scenario Outline: Requests that are refused name place and value
    When "<method> <path>" is sent with "<body>" and size "<size>"
    Then the answer is <status> and says "<text>"

    Examples:
      | method | path                           | body                         | size                  | status | text                     |
      | POST   | /v1/queues/settlements/jobs    | x                            | {'processors': 'x'}   | 400    | X-Job-Size: processors   |
      | POST   | /v1/queues/settlements/jobs    | x                            | {'processors': 1e999} | 400    | X-Job-Size: processors   |
      | POST   | /v1/queues/settlements/jobs    | x                            | {'processors'         | 400    | X-Job-Size: not JSON     |
      | POST   | /v1/queues/settlements/jobs    | x                            | {'processors': -1}    | 400    | below zero               |
      | POST   | /v1/targets/t1/usage           | {'used': {'processors': -1}} |                       | 400    | used.processors: -1.0    |
      | POST   | /v1/targets/t1/usage           | {'used': {'memory_mb': 1e9}} |                       | 400    | used.memory_mb           |
      | POST   | /v1/targets/t1/usage           | {'usd': {}}                  |                       | 400    | did you mean used        |
      | POST   | /v1/targets/t9/usage           | {'used': {}}                 |                       | 404    | 't9' is not announced    |
      | DELETE | /v1/queues/unknown/jobs        |                              |                       | 404    | 'unknown' does not exist |

  Scenario: A job is put off with a checkpoint, goes on, and its queue is cancelled
    When a job of 2 processors is queued and taken
    And its target reports its usage and renews its lease
    And its target hands it back with checkpoint "half"
    Then the next take gives it with checkpoint "half"
    When a job of 99 processors is queued
    Then its status is held by "needs a host with 99 processors"
    When the queue is cancelled
    Then 2 jobs were cancelled
    And the renewal of the running one says so
