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
