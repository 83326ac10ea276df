Feature: The replicated state is the same on every replica

  Scenario: A snapshot at any cut and the rest of the log give the same state
    Given random logs of every command with seed 1
    Then replay from a snapshot at any cut gives equal state and equal outcomes

  Scenario: A refused command changes nothing
    Given random logs of every command with seed 2
    Then a refused command leaves the state as it was

  Scenario: Tallies and indexes follow the tables
    Given random logs of every command with seed 3
    Then tallies and indexes equal a recount after each command

  Scenario: Limits hold whatever is proposed
    Given random logs of every command with seed 4
    Then no team and no target is ever given more than its limit
    And every host belongs to one pool that exists

  Scenario: A resent command is the same success
    Given random logs of every command with seed 5
    Then each successful configuration command sent again changes nothing
