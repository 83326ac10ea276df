Feature: A target of the soak that starts again under its name is another process

  Scenario Outline: The next process executes nothing that <what>
    Given a target on loopback that runs a task, and an open connection to it
    When it crashes <how>, and its next process starts
    And a <path> order is sent on the connection
    Then the connection <shows>
    And the next process runs nothing, and has seen no order

    Examples:
      | what                                           | how        | path      | shows                |
      | arrives on an abandoned connection: a start    | silently   | run-start | is open but silent   |
      | arrives on an abandoned connection: a renewal  | silently   | hold      | is open but silent   |
      | arrives on a connection that was reset         | with reset | run-start | is closed            |

  Scenario: A new connection leads to the next process, whose counts start anew
    Given a target on loopback that runs a task, and an open connection to it
    When it crashes silently, and its next process starts
    And a hold order is sent on a new connection
    Then the answer names a later start, and a clock that has just started
    And the next process runs nothing, and has no fencing token and no end

  Scenario: A deadline of the former clock is shortened to the longest lease
    Given a target on loopback that runs a task, and an open connection to it
    When it crashes silently, and its next process starts
    And a run-start order is sent on a new connection
    Then the next process holds a lease of at most 6 s from now

  Scenario Outline: A lease is <extended> by <what>
    Given a simulated process whose lease ends at 1,000 ms
    When at 500 ms <what> arrives with a deadline of <deadline> ms
    Then its lease ends at <end> ms

    Examples:
      | extended | what                         | deadline | end   |
      | extended | a renewal                    | 3000     | 3000  |
      | extended | a start                      | 3000     | 3000  |
      | extended | the start of what runs there | 3000     | 3000  |
      | extended | a start refused as old       | 3000     | 3000  |
      | bounded  | a start refused as old       | 90000    | 6500  |
      | kept     | a renewal                    | 800      | 1000  |
      | kept     | a start of a former leader   | 3000     | 1000  |

  Scenario Outline: An end <is> taken note of when <when>
    Given a simulated process with an end as done
    When <when>
    Then the end <is> taken note of

    Examples:
      | is     | when                                                            |
      | is     | an order has seen its number                                    |
      | is     | an order has seen a number above all that it listed             |
      | is     | an order has seen its number before it, and the task ends again |
      | is not | an order of a former leader has seen its number                 |
      | is not | the lease expires, and an order has seen its number             |
