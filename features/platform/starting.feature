Feature: A starting entry accepts callers before its program is loaded

  Scenario: A request that arrives while the program is loaded is answered
    Given an address at which callers' connections are accepted
    When a caller sends a request, and the service starts afterwards
    Then the request is answered
    And further connections are accepted

  Scenario: The modules of a program are loaded after its address is open
    Then the command line loads neither the reactor nor a role

  Scenario: An address that is in use does not end the program
    Given an address at which callers' connections are accepted
    Then opening it again yields no socket
