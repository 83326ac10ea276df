Feature: The examples of docs/API.md do what they say

  Scenario: Each example gives its status
    Given service "route-plans" that is repeatable, on a scripted target
    Then each example of "docs/API.md" gives its status
