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
