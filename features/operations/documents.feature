Feature: A service document is checked completely before it is accepted

  Background:
    Given pool "interior" with 3 hosts of 4 processors
    And team "dispatch" exists

  Scenario Outline: <place> <problem>
    When a document with "<line>" in "<section>" is applied as version 1
    Then it is refused as "invalid-document"
    And the fault at "<place>" says "<problem>"

    Examples: kinds and units
      | section      | line                    | place                           | problem                         |
      | calls        | deadline_ms = "3"       | calls.deadline_ms               | '3' is not a whole number (mill |
      | calls        | deadline_ms = 1.5       | calls.deadline_ms               | 1.5 is not a whole number       |
      | calls        | deadline_ms = true      | calls.deadline_ms               | true is not a whole number      |
      | calls        | repeatable = 1          | calls.repeatable                | 1 is not true or false          |
      | calls        | deadline_s = 3          | calls.deadline_s                | did you mean deadline_ms?       |
      | size         | processors = nan        | size.processors                 | nan is not a number             |
      | size         | memory_gb = 3           | size.memory_gb                  | did you mean memory_mb?         |
      | unheard_of   | x = 1                   | unheard_of                      | unknown; use service, calls     |

    Examples: ranges
      | section      | line                    | place                           | problem                         |
      | calls        | deadline_ms = 0         | calls.deadline_ms               | out of range: use 1 to 120000   |
      | availability | window_days = 400       | availability.window_days        | use 1 to 366                    |
      | objective    | success_share = 1.0     | objective.success_share         | use 0.5 to 0.99999              |

    Examples: references
      | section      | line                    | place                           | problem                         |
      | service      | team = "dispach"        | service.team                    | did you mean 'dispatch'?        |
      | service      | pool = "moon"           | service.pool                    | create the pool first           |
      | service      | team = "Dispatch"       | service.team                    | lower-case letters              |

    Examples: limits that cannot be met
      | section      | line                    | place                           | problem                         |
      | availability | min_hosts_serving = 4   | availability.min_hosts_serving  | hold 3 hosts; use 3 at most     |
      | size         | processors = 5          | size.processors                 | use 4.0 at most                 |
      | size         | accelerators = 1        | size.accelerators               | use 0 at most                   |
      | queue        | lease_ms = 4000000      | queue.lease_ms                  | out of range: use 500 to 600000 |
      | queue        | max_run_s = 5           | queue.lease_ms                  | longer than the longest run     |
      | objective    | latency_ms = 20000      | objective.latency_ms            | longer than calls.deadline_ms   |

  Scenario: A host of undeclared memory may fit anything
    Given host "host-3" of pool "interior" declares 4 processors only
    When a document with "memory_mb = 999999" in "size" is applied as version 1
    Then it is accepted

  Scenario: All faults come in one answer
    When a document with all of these faults is applied:
      """
      [service]
      name = "Route Plans"
      team = "dispach"
      [calls]
      deadline_ms = "5s"
      max_body_kb = 0
      retries = 3
      """
    Then it is refused as "invalid-document"
    And the faults are at "service.pool, service.name, service.team, calls.deadline_ms, calls.max_body_kb, calls.retries"

  Scenario: A document that is not TOML is refused with the line
    When a document with "deadline_ms = = 3" in "calls" is applied as version 1
    Then it is refused as "invalid-document"
    And the fault at "(whole)" says "line"

  Scenario: The first version is 1
    When a document with "deadline_ms = 5000" in "calls" is applied as version 7
    Then it is refused as "conflict"

  Scenario: A late resend does not bring a removed service back
    When a document with "deadline_ms = 5000" in "calls" is applied as version 1
    Then it is accepted
    When service "route-plans" is removed
    And a document with "deadline_ms = 5000" in "calls" is applied as version 1
    Then it is refused as "conflict"
    And the refusal says "was removed at version 1, so the next is 2, not 1"
    When a document with "deadline_ms = 5000" in "calls" is applied as version 2
    Then it is accepted

  Scenario: Operators race with equal numbers and resend after lost answers
    When operators race and resend in random ways
    Then each number has one text, resends succeed and nothing reverts

  Scenario: Operators race, withdraw, remove and resend at any later time
    When the soak of operators runs with seeds 1 to 60
    Then every kind of command was accepted
