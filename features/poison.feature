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

  # A daemon that started after the crashes was not told of them, and ran the
  # request again.
  Scenario: Daemons are restarted one after the other
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When a caller sends a crashing request 4 times
    And the daemon of host 1 is killed
    And the daemon of host 1 is restarted
    And the daemon of host 2 is killed
    And the daemon of host 2 is restarted
    And the daemon of host 3 is killed
    And the daemon of host 3 is restarted
    And 2 s pass
    And a caller sends a crashing request 6 times
    And the daemon of host 4 is killed
    And the daemon of host 4 is restarted
    And the daemon of host 5 is killed
    And the daemon of host 5 is restarted
    And the daemon of host 6 is killed
    And the daemon of host 6 is restarted
    And 2 s pass
    And a caller sends a crashing request 6 times
    Then at most 2 backend servers have crashed

  Scenario: All daemons are killed at the same time
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When a caller sends a crashing request 4 times
    And the daemons of hosts 1 to 6 are killed
    And the daemons of hosts 1 to 6 are restarted
    And 2 s pass
    And a caller sends a crashing request 6 times
    Then at most 2 backend servers have crashed
