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

  # Guards against connections that are reset after a stall, unread.
  Scenario: Requests on many connections not yet accepted are answered
    Given a service with an open connection
    When 100 new connections bring requests while the process is blocked, and it stops
    Then each of these requests is answered

  # Guards against replies that are written and dropped with the process.
  Scenario: A caller reads a large reply slowly while the entry stops
    Given an entry that gives large replies
    When it stops after a request of a caller that reads 3.5 seconds later
    Then the caller gets the whole reply
    And the stop is over before the grace period

  # Guards against a connection that is closed under a request which is being received.
  Scenario: A request arrives in two parts while the entry stops
    Given an entry that takes 0.4 seconds to answer
    When it stops while a caller sends a request from second 2 to 3.2
    Then the caller gets 1 reply

  # Guards against a request that is read and dropped behind another one.
  Scenario: Two requests arrive at once on one connection while the entry stops
    Given an entry that takes 0.4 seconds to answer
    When it stops after a caller has sent two requests at once in second 2.1
    Then the caller gets 2 replies

  # Guards against a connection that is closed before its first request can arrive.
  Scenario: A caller connects just before the entry closes idle connections
    Given an entry that takes 0.4 seconds to answer
    When it stops while a caller connects in second 2.2 and sends its request in second 2.5
    Then the caller gets 1 reply

  # Guards against requests that are accepted until the end and cut off by it.
  Scenario: Callers come until an entry without an answer of its leader has ended
    Given an entry that waits for a leader that is silent
    When it stops while callers send a request every 50 milliseconds
    Then no request that it has read ends without an answer
    And the stop is over before the grace period

  # Guards against the same where the process stalls in the last half second.
  Scenario: An entry without an answer of its leader stalls before it ends
    Given an entry that waits for a leader that is silent
    When it stalls for 0.5 seconds from second 4.6 of its stop, with callers all the time
    Then no request that it has read ends without an answer

  # Guards against replies that are cut off without a record of it.
  Scenario: A caller does not read its reply at all while the entry stops
    Given an entry that gives large replies
    When it stops after a request of a caller that reads 6 seconds later
    Then the stop is over before the grace period
    And the log names the request that was cut off, and how much of its reply was left
