Feature: Logs of runs with real processes

  Scenario Outline: The logs of a failed run are gone
    When a run writes a log and <outcome>
    Then its folder is <folder>

    Examples:
      | outcome             | folder  |
      | succeeds            | removed |
      | breaks a promise    | kept    |
      | ends with an error  | kept    |
