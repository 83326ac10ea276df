Feature: A request gets an answer, whatever its body and its headers are

  # Guards against connections that end without an answer on machines without a disk.
  Scenario Outline: <what> arrives where no temporary file can be written
    Given a service with an open connection
    And no folder for temporary files
    When a caller sends <what>
    Then the request is answered

    Examples:
      | what                      |
      | a body of 200,000 bytes   |
      | a body in chunks          |

  # Guards against 500, and lines about an error of ours, for what a caller sent.
  Scenario Outline: A request has a <header> that is no UTF-8
    Given a service with an open connection
    When a caller sends a <header> that is no UTF-8
    Then the request is answered

    Examples:
      | header        |
      | Host          |
      | X-Key         |
      | X-Deadline-Ms |

  Scenario Outline: A caller sends <what>
    Given a service with an open connection
    When a caller sends <what>
    Then the request is answered

    Examples:
      | what                               |
      | a request in HTTP/1.0              |
      | a body after it was told to go on  |
      | a body in ten segments             |
