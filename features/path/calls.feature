Feature: A caller gets the whole answer to its own request

  Background:
    Given pool "interior" with host "host-1" and team "dispatch" with limit 4
    And service "route-plans" of team "dispatch"
    And team "dispatch" has a key
    And target "t1" on host "host-1" serves "route-plans"

  Scenario: A call is answered whole
    When a caller sends "van 7"
    Then the answer is 200 with "echo:van 7"

  Scenario: A withdrawn key stops working
    When the key of team "dispatch" is withdrawn
    And a caller sends "van 7"
    Then the call is refused with 401 "bad-key" and outcome "not-run"

  Scenario: A leaving target gets no new work
    When target "t1" says that it leaves
    And a caller sends "van 7" with a deadline of 200 ms
    Then the call is refused with 503 "overloaded" and outcome "not-run"
    And target "t1" has run 0 calls

  Scenario: No team has more running than its upper limit
    Given each call takes 50 ms
    When 20 callers send at once
    Then every answer is 200
    And target "t1" never ran more than 4 calls at once
