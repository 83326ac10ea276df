Feature: A service that stops answers what has arrived

  Scenario: A request that arrives while the process is held up is answered
    Given a service with an open connection
    When a request arrives while the process is held up, and idle connections are closed
    Then the request is answered

  Scenario: A connection that waits to be accepted is answered
    Given a service with an open connection
    When a new connection brings a request while the process is held up, and it stops listening
    Then the request is answered
    And nobody can connect any more
