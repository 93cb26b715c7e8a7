"""Print the configuration of Lustreline Fixture Care."""

from ragwortstand import Configuration, Rank, Route, Service

mesh = Configuration(
    ranks=(
        Rank(
            name='dispatch',
            target_s=0.5,
            guaranteed_share=0.3,
            deadline_s=3,
        ),
        Rank(
            name='job-status',
            target_s=0.3,
            guaranteed_share=0.3,
            deadline_s=2,
        ),
        Rank(
            name='schedule',
            target_s=0.8,
            guaranteed_share=0.2,
            deadline_s=3,
        ),
        Rank(
            name='report-browsing',
            target_s=4,
            guaranteed_share=0.1,
            deadline_s=20,
            cross_region=False,
        ),
    ),
    services=(
        Service(name='jobboard', cold_start_s=2),
        Service(name='dispatcher', cold_start_s=2),
        Service(name='reports', cold_start_s=2),
    ),
    routes=(
        Route(path='/lifts', service='dispatcher', rank='dispatch'),
        Route(path='/jobs', service='jobboard', rank='job-status'),
        Route(path='/schedules', service='jobboard', rank='schedule'),
        Route(path='/galleries', service='jobboard', rank='report-browsing'),
        Route(path='/reports', service='reports', rank='report-browsing'),
    ),
)

if __name__ == '__main__':
    mesh.print()
