Feature: A leader that regains its lease in its term drops what it had begun before

  # Guards against retries of a former leadership that act in the present one.
  Scenario: A call is scheduled, and the leader loses its lease before it is due
    Given an idle fleet
    And a call that is due in 0.5 seconds, and a leader that loses its lease for 0.2 seconds
    Then the call is dropped
