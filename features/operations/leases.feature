Feature: Silence counts only while somebody listened

  Background:
    Given 3 targets with a lease of 10 s, all seen now

  Scenario: A silent target is lost
    When 9 s pass with a check each 0.1 s and target "t-0" and "t-1" are seen
    And 2 s pass with a check each 0.1 s
    Then target "t-2" is lost and the others serve

  Scenario: A leader that led before does not count the time of its absence
    When 60 s pass without a check
    And 1 s pass with a check each 0.1 s
    Then no target is lost

  Scenario: A leader that comes back finds lost targets after a whole lease
    When 60 s pass without a check
    And 11 s pass with a check each 0.1 s
    Then every target is lost
