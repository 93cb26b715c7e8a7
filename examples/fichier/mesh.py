"""Print the configuration of Fichier Ndiaye Lexicographie."""

from ragwortstand import Configuration, Rank, Route, Service

mesh = Configuration(
    ranks=(
        Rank(
            name='consultation',
            target_s=0.25,
            guaranteed_share=0.4,
            deadline_s=2,
        ),
        Rank(
            name='filing',
            target_s=0.5,
            guaranteed_share=0.25,
            deadline_s=3,
        ),
        Rank(
            name='lookup',
            target_s=0.5,
            guaranteed_share=0.2,
            deadline_s=2,
        ),
        Rank(
            name='export',
            target_s=5,
            guaranteed_share=0.1,
            deadline_s=30,
            cross_region=False,
        ),
    ),
    services=(
        Service(name='consult', cold_start_s=2),
        Service(name='filing', cold_start_s=2),
        Service(name='export', cold_start_s=2),
    ),
    routes=(
        Route(path='/slips', service='consult', rank='consultation'),
        Route(path='/provenance', service='consult', rank='lookup'),
        Route(path='/senses', service='consult', rank='lookup'),
        Route(path='/previews', service='consult', rank='export'),
        Route(path='/attestations', service='filing', rank='filing'),
        Route(path='/exports', service='export', rank='export'),
    ),
)

if __name__ == '__main__':
    mesh.print()
