Feature: Each rank keeps its service in a flood

  Three backend servers of 12 slots run 180 requests of 200 ms a second.

  Scenario: Bulk work floods in at three times the capacity
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    And 100 urgent requests a second for 12 s
    And 60 middle requests a second for 12 s
    When 1 s pass
    And 540 long bulk requests a second start for 8 s
    And all load has ended
    Then at least 99% of urgent requests were served in target
    And at least 99% of middle requests were served in target
    And at least 120 long bulk requests a second were served
    And every request was answered
    And no promise was broken

  Scenario: Urgent work floods in at three times the capacity
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    And 100 middle requests a second for 12 s
    And 60 bulk requests a second for 12 s
    When 1 s pass
    And 540 long urgent requests a second start for 8 s
    And all load has ended
    Then at least 99% of middle requests were served
    And at least 99% of bulk requests were served
    And at least 100 long urgent requests a second were served
    And every request was answered
    And no promise was broken

  Scenario: More requests come in than the daemons can take
    Given a fleet of 3 hosts in 1 regions
    And version 1 is in force
    And 100 urgent requests a second for 9 s
    When 1 s pass
    And 1500 bulk requests a second start for 6 s
    And all load has ended
    Then at least 99% of urgent requests were served
    And every request was answered
    And no promise was broken
