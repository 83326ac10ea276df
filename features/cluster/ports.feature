Feature: Tests that run side by side don't take ports from one another

  Scenario: Two processes that would choose the same ports get different ones
    When two processes that would choose the same ports ask for 3 each
    Then no port is given to both
