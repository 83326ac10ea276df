Feature: The logs tell which orders a silent or former process may have carried out

  Scenario: A target lists the end of a run that is live elsewhere
    Given an idle fleet whose sessions are logged
    And a target that carries out a start that was sent to another one, and ends it
    Then the log has one end as done of a run that is not live, on that target

  Scenario: The runs of a target that is cut off lapse
    Given an idle fleet whose sessions are logged
    And the target of a run that is cut off for 8 seconds
    Then the log tells that the lease had ended when its runs lapsed, and when it was last renewed

  Scenario: A target starts again under its name before it has confirmed a start
    Given an idle fleet whose sessions are logged
    And a target that starts again under its name while it gets starts
    Then the log tells how many starts its former process had not confirmed

  Scenario: A target lists a run that it had accepted neither as running nor as ended
    Given an idle fleet whose sessions are logged
    And a target that forgets the end of a run
    Then the log tells which run is missing from its lists
