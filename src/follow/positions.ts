/**
 * Positions in the history of the platform's store.
 *
 * The store numbers its transactions. When it is restored from an older copy, it goes back to the number
 * of that copy and gives out the later numbers again, and its era rises by one. A position joins the era
 * and the number of a transaction (its revision) in one integer, so that a later position is a greater
 * number in every table, page, message and claim. While the store names no era, a position is the
 * revision itself.
 *
 * @packageDocumentation
 */

/** Number of revisions in an era; the positions of all eras fit into exact integers. */
const REVISIONS_PER_ERA_COUNT = 2 ** 33
/** Number of eras that are told apart; later ones start anew. */
const ERA_LIMIT_COUNT = 2 ** 20

/**
 * Returns the position of a revision.
 *
 * @param era - The store's era; 0 if it names none.
 * @param revision - The revision within the era.
 * @returns The position.
 */
export function positionOf (era: number, revision: number): number {
  return (era % ERA_LIMIT_COUNT) * REVISIONS_PER_ERA_COUNT + revision
}

/**
 * Returns the era of a position.
 *
 * @param position - The position.
 * @returns The era; Infinity for a position that is not finite.
 */
export function eraOf (position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA_COUNT)
}

/**
 * Tells whether a position lies in an era.
 *
 * @param position - The position.
 * @param era - The era as the store names it.
 * @returns Whether it does.
 */
export function isOfEra (position: number, era: number): boolean {
  return eraOf(position) === eraOf(positionOf(era, 0))
}

/**
 * Returns the revision of a position, as the store numbers it.
 *
 * @param position - The position.
 * @returns The revision within its era.
 */
export function revisionOf (position: number): number {
  return position % REVISIONS_PER_ERA_COUNT
}

/**
 * Returns the fields of a log line that name a position.
 *
 * @param position - The position.
 * @returns The revision, and the era if the store names one.
 */
export function logFields (position: number): { readonly revision: number, readonly era?: number } {
  const era = eraOf(position)
  return era > 0 ? { revision: revisionOf(position), era } : { revision: position }
}
