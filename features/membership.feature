Feature: Daemons know each other without a list of servers

  Scenario: A host dies
    Given a fleet of 9 hosts in 3 regions
    And version 1 is in force
    When host 5 is lost
    Then host 5 is dead for all others within 5 s

  Scenario: A third of the hosts die at once
    Given a fleet of 12 hosts in 3 regions
    And version 1 is in force
    When host 2 is lost
    And host 5 is lost
    And host 8 is lost
    And host 11 is lost
    Then host 2 is dead for all others within 10 s
    And host 11 is dead for all others within 10 s

  Scenario: A paused daemon refutes its death
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When the daemon of host 4 is paused for 8 s
    Then host 4 is alive for all others within 5 s
    And all 6 hosts are ready within 5 s

  Scenario: At rest nobody is taken for dead
    Given a fleet of 6 hosts in 3 regions
    And version 1 is in force
    When 6 s pass
    Then no daemon has taken a living one for dead

  Scenario: A daemon that nobody reaches comes back
    Given a fleet of 6 hosts in 3 regions behind relays
    And version 1 is in force
    When nobody reaches the daemon of host 4
    And 6 s pass
    And the daemon of host 4 is reached again
    Then host 4 is alive for all others within 10 s
    And all 6 hosts are ready within 10 s

  Scenario: A herd dies and returns
    Given a fleet of 12 hosts in 3 regions
    And version 1 is in force
    And 100 urgent requests a second for 14 s
    When 1 s pass
    And the daemons of hosts 1 to 4 are killed
    And 2 s pass
    And the daemons of hosts 1 to 4 are restarted
    Then all 12 hosts are ready within 10 s
    And version 1 is in force everywhere within 10 s
    When all load has ended
    Then nothing ran twice and every answer fits

  Scenario: The platform is out while hosts come and go
    Given a fleet of 9 hosts in 3 regions
    And version 1 is in force
    When the platform is out
    And the daemon of host 3 is killed
    Then host 3 is dead for all others within 5 s
    When the daemon of host 3 is restarted
    Then host 3 has version 1 within 10 s
    And all 9 hosts are ready within 10 s
