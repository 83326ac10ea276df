Feature: How many voters a leader keeps by itself

  # The losses that must be borne need a fewest number of voters. Beyond that every
  # daemon with a data folder votes: where more of them ran than vote, half of them
  # and one could be together and hold no majority of the voters.

  Scenario Outline: All vote that can, in an odd number
    Given a leader with <voters> voters and <standbys> standbys besides
    Then it wants <wanted> voters where at least <fewest> are needed

    Examples:
      | voters | standbys | fewest | wanted |
      | 3      | 0        | 3      | 3      |
      | 3      | 1        | 3      | 3      |
      | 3      | 2        | 3      | 5      |
      | 3      | 6        | 5      | 9      |
      | 3      | 0        | 5      | 5      |
      | 5      | 3        | 5      | 7      |
      | 6      | 0        | 3      | 5      |

  Scenario Outline: A majority of the daemons is one of the voters
    Given a leader with <voters> voters and <standbys> standbys besides
    When it changes the members until nothing is left to change
    Then each majority of the daemons holds a majority of the voters

    Examples:
      | voters | standbys |
      | 3      | 0        |
      | 3      | 1        |
      | 3      | 2        |
      | 3      | 3        |
      | 3      | 5        |
      | 3      | 6        |

  Scenario Outline: Dead voters are kept when machines are replaced one after the other
    Given a leader with <voters> voters and 0 standbys besides
    When each other voter is lost <times> times, one every 9 seconds, and a successor comes
    Then the voters are <voters> daemons that are heard, after each of these losses
    And there are never more than <most> members

    Examples:
      | voters | times | most |
      | 3      | 3     | 8    |
      | 5      | 3     | 10   |
      | 9      | 2     | 14   |

  Scenario: Two losses before the first successor comes leave dead voters behind
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost, and then 2 successors come
    Then the voters are 5 daemons that are heard

  Scenario: A successor is lost at its promotion and takes the quorum with it
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost, and a successor that is lost at its promotion comes
    Then a majority of the voters is heard after each change

  Scenario: Voters that were lost for long and have no successor keep the quorum large
    Given a leader with 9 voters and 0 standbys besides
    When 4 voters are lost for 11 seconds where at least 5 are needed
    Then the voters are 5 daemons that are heard

  Scenario: A leader that has just been elected trusts no standby it hasn't heard from
    Given a leader with 4 voters and 2 standbys besides
    When it is elected anew and has heard from no one
    Then it changes no members

  Scenario: Successors that are promoted before a loss is noticed leave dead voters
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost under one leader, and 2 successors come at once
    Then the voters are 5 daemons that are heard

  Scenario: A successor that is lost before the loss it is for shows gets the vote
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost under one leader, and 2 successors come at once
    Then there are never more than 5 voters

  Scenario: A new leader promotes successors before it can know which voters are lost
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost at a leader's election, and 2 successors come at once
    Then there are never more than 5 voters
    And the voters are 5 daemons that are heard

  Scenario: A new leader takes so long to notice a loss that it is lost before
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost at a leader's election, and 2 successors come for 2.6 seconds
    Then the voters are 5 daemons that are heard

  Scenario: A voter that is heard but has no usable disk keeps the vote
    Given a leader with 5 voters and 0 standbys besides
    When a voter comes back without a usable disk, and a successor comes
    Then the voters are 5 daemons that are heard

  Scenario: A newcomer that receives a long snapshot is removed as silent
    Given a leader with 3 voters and 1 standbys besides
    When the standby answers chunks of a snapshot for 31 seconds, and nothing else
    Then it changes no members

  Scenario: A newcomer that is slow to answer is removed and added over and over
    Given a leader with 5 voters and 0 standbys besides
    When a newcomer connects that reports nothing for 2 seconds
    Then it has been added once and is still a member

  Scenario: A decision about members outlives the term of the leader that made it
    Given a leader decided on a change, which no quorum has confirmed
    When another daemon leads
    Then the change is not sent to it, and its decision has failed

  Scenario: A failure while a change is proposed ends all later changes
    Given a leader whose proposals raise an error
    When it checks its members twice
    Then it has proposed 2 changes

  Scenario: A voter with a new disk that has died since gets the vote back
    Given a leader with 3 voters and 0 standbys besides
    When "m1" reports another disk and then nothing for 1 second
    Then it changes no members

  Scenario: A leader that loses its quorum doesn't say which voters it missed
    Given a leader with 3 voters and 0 standbys besides
    When it hears of "m1" only, and then of no one
    Then it says that its quorum is lost, without "m1 m2"

  Scenario: The losses that are borne don't show in the logs
    Given a leader with 5 voters and 0 standbys besides
    When 2 voters are lost for 3 seconds where at least 5 are needed
    Then of 5 voters with a quorum of 3 it reports 2 as missing and 0 losses as borne
    And it warns once that fewer losses are borne than promised
    And it warns again in its next term
