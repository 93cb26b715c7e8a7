Feature: A request that crashes its backend server is quarantined

  Scenario: The caller sends the request again and again
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 60 urgent requests a second for 8 s
    When 1 s pass
    And a caller sends a crashing request 12 times
    And all load has ended
    Then at most 2 backend servers have crashed
    And every request was answered
    And no promise was broken

  Scenario: Two callers send the request at once
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When 2 callers send a crashing request 6 times
    Then at most 3 backend servers have crashed

  Scenario: A popular request was in flight in a crash
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    And 60 long urgent requests a second for 6 s
    When 1 s pass
    And a caller sends a crashing request 1 times
    And all load has ended
    Then at least 98% of long urgent requests were served
    And every request was answered
    And no promise was broken
