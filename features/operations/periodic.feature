Feature: A task of the daemon that fails does not end its work

  Scenario: A failing task is logged and runs again
    Given a periodic task that fails in its first 3 runs
    When 1 second passes
    Then it has run 11 times

  Scenario: A task that waits does not hold up another one
    Given a periodic task that waits for an answer that never comes
    And a periodic task that fails in its first 1 runs
    When 1 second passes
    Then it has run 11 times
