Feature: The fault soak of the deployment's real programs

  Scenario: A short run breaks no promise
    When the soak runs seed 1 for 12 seconds
    Then every promise was kept
    And jobs were accepted, tasks started and manifests acknowledged

  Scenario Outline: A run finds a defect that is planted in the programs
    When the soak runs seed <seed> for <seconds> seconds with the defect "<defect>"
    Then a promise was broken: "<promise>"

    Examples:
      | defect               | seed | seconds | promise                       |
      | takes any key        | 1    | 12      | a key of nobody got status    |
      | forgets leases       | 1    | 12      | runs twice                    |
      | cuts off at its stop | 1    | 12      | the planned stop of           |
