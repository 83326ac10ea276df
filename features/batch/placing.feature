Feature: Plans are made in few passes over the targets

  Scenario: Packing a step in one pass starts the runs that a choice for each task would
    Then in 300 random fleets both plans start the same runs
