Feature: An order is sent only while this daemon may order, and to the intended process

  Scenario Outline: <what>
    Given orders to a target over a connection that <connection>
    When a start is ordered, <when>, and the connection is ready
    Then the order <result>

    Examples:
      | what                                                     | connection       | when                           | result      |
      | An order of the leader is sent                           | is opened first  | nothing changes                | is sent     |
      | A lease that runs out while a connection is opened       | is opened first  | the leader's lease runs out    | is not sent |
      | A lease that runs out while an earlier order is answered | is busy          | the leader's lease runs out    | is not sent |
      | An order of the leader follows an earlier one            | is busy          | nothing changes                | is sent     |

  # Guards against runs that the next process of a target begins under its name (TWICE).
  Scenario Outline: A new connection leads to <whom>
    Given a new connection to a target that was started at 1000
    When <an order> is due, and the lists on the connection are <lists>
    Then the order is <fate>, and its outcome is "<outcome>"

    Examples:
      | whom                          | an order  | lists                         | fate     | outcome    |
      | the intended process          | a start   | {"born":1000}                 | sent     | done       |
      | a target that tells no start  | a start   | {}                            | sent     | done       |
      | the next process              | a start   | {"born":2000}                 | not sent | other-life |
      | the next process              | a stop    | {"born":2000}                 | not sent | other-life |
      | the next process              | a renewal | {"born":2000}                 | not sent | other-life |
      | the next process              | a speed   | {"born":2000}                 | not sent | other-life |
      | another target                | a start   | status 421                    | not sent | other-life |
      | a target with another leader  | a start   | status 409: {"reason":"fence"} | not sent | fenced     |
      | a target that is not well     | a start   | status 503                    | not sent | not-sent   |
      | one whose lists can't be read | a start   | {"born":"early"}              | not sent | not-sent   |
      | one that closes it            | a start   | closed                        | not sent | not-sent   |
      | one that is silent            | a start   | silent                        | not sent | not-sent   |

  Scenario: Orders for the next process don't use the connections to the former one
    Given a checked connection to a target that was started at 1000
    When an order for its next process, started at 2000, is due
    Then a new connection is opened for it

  Scenario: A check that was asked for by a deposed leader is not sent
    Given a new connection to a target that was started at 1000
    When a start is due, and the leader's lease runs out while the connection is opened
    Then nothing is sent, and the connection is closed

  Scenario: A start that waits for a connection is not sent once the session has ended
    Given a new connection to a target that was started at 1000
    When a start is due, and the session ends while the connection is opened
    Then nothing is sent, and the connection is closed

  # Guards against orders on a connection whose process hasn't shown its start, or has ended.
  Scenario Outline: Two starts wait for a connection whose check <answer>
    Given a new connection to a target that was started at 1000
    When two starts are due, and the check <answer>
    Then <sent>

    Examples:
      | answer                                        | sent                                  |
      | is answered in part                           | no start is sent                      |
      | is answered, and the answer has a second one  | no start is sent                      |
      | is answered, and the connection is to end     | no start is sent                      |
      | isn't answered, and the connection ends       | no start is sent on a new connection  |
      | is answered completely                        | one start is sent, the other one next |

  # Guards against the same where an earlier connection leads to the former process still.
  Scenario: A further connection is opened to a target that has started again meanwhile
    Given a checked connection to a target that was started at 1000
    When a start is answered late, and another one is due on a further connection
    And the lists on that connection are of the process that was started at 2000
    Then the second start is sent on neither, and its outcome is "other-life"
