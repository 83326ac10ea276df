Feature: A stopping service answers requests that have arrived

  Scenario: A request that arrives while the process is blocked is answered
    Given a service with an open connection
    When a request arrives while the process is blocked, and idle connections are closed
    Then the request is answered

  Scenario: A request on a connection not yet accepted is answered
    Given a service with an open connection
    When a new connection brings a request while the process is blocked, and it stops listening
    Then the request is answered
    And new connections are refused
