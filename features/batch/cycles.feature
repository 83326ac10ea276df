Feature: Scheduling cycles are few under load, and start at once otherwise

  Scenario: Changes that arrive one after the other share cycles
    Given scheduling cycles whose change sets commit after 10 ms
    When a change is submitted every 5 ms for 1 second
    Then all changes are committed, in at most 41 change sets

  Scenario: A change after a pause is proposed at once
    Given scheduling cycles whose change sets commit after 10 ms
    When a change is submitted after a pause of 1 second
    Then it is proposed within 3 ms
