Feature: The fault soak of the deployment's real programs

  Scenario: A short run breaks no promise
    When the soak runs seed 1 for 12 seconds
    Then every promise was kept
    And jobs were accepted, tasks started and manifests acknowledged

  Scenario: A core whose machines are replaced one after the other loses its quorum
    When the soak replaces each core machine once with seed 1, in at most 90 seconds
    Then every promise was kept
    And 5 core machines were replaced, some as planned and some not
    And jobs were accepted, tasks started and manifests acknowledged

  Scenario: Targets start again under their names and are cut off while tasks run
    When the soak injects only "restart_and_cut" with seed 1 for 20 seconds
    Then every promise was kept
    And jobs were accepted, tasks started and manifests acknowledged
    And "restart_and_cut" was injected

  # Which faults a seed injects depends on response times. The one kind of fault that
  # reveals a defect is repeated until the defect is found.
  Scenario Outline: A run finds a program that <defect>
    When the soak injects only "<fault>" for at most 60 seconds with the defect "<defect>", until a promise is broken: "<promise>"
    Then a promise was broken: "<promise>"

    Examples:
      | defect               | fault          | promise                    |
      | takes any key        | reset          | is withdrawn since         |
      | forgets leases       | isolate_target | runs twice or started again |
      | cuts off at its stop | stop           | the planned stop of        |
      | orders whoever listens | restart_target | runs twice or again after its acknowledged end or over its capacity |
