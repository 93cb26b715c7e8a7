Feature: Each rank keeps its service in a flood

  Scenario: Bulk work floods in at three times the capacity
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    And 150 urgent requests a second for 10 s
    And 60 middle requests a second for 10 s
    When 1 s pass
    And 1500 bulk requests a second start for 6 s
    And all load has ended
    Then at least 99% of urgent requests were served in target
    And at least 99% of middle requests were served
    And every request was answered
    And no promise was broken

  Scenario: Urgent work floods in at three times the capacity
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    And 100 middle requests a second for 9 s
    And 60 bulk requests a second for 9 s
    When 1 s pass
    And 1500 urgent requests a second start for 6 s
    And all load has ended
    Then at least 95% of middle requests were served
    And at least 95% of bulk requests were served
    And every request was answered
    And no promise was broken
