Feature: A service that stops answers what has arrived

  Scenario: A request that arrives while the process is held up is answered
    Given a service with an open connection
    When a request arrives while the event loop is blocked, and idle connections are closed
    Then the request is answered

  Scenario: A connection that waits to be accepted is answered
    Given a service with an open connection
    When a new connection sends a request while the event loop is blocked, and the service stops listening
    Then the request is answered
    And new connections are refused
