/** Initial rules of the local deployment. */
export const SAMPLE_RULES = [
  '# Rules of the local deployment. The first line that matches applies.',
  'kind=lookup target=ruling-model priority=lookup deadline=5s # front desk, callers wait on the phone',
  'kind=ledger-review target=ruling-model priority=draft deadline=10m # practice managers, long drafts may wait',
  'kind=posting target=ledger repeat=byKey deadline=30s # finance team, a posting lands once',
  'kind=history target=ledger deadline=10s # front desk, reads may be repeated',
  'kind=* target=ruling-model deadline=2m # operations, all other questions',
  '',
].join('\n');
