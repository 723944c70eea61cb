/**
 * News of the swarm as it travels beside chunks, in headers.
 *
 * @packageDocumentation
 */
import * as Schemas from '../../schema/index.ts'

/** The header that carries an agent's news of a set. */
export const NEWS_HEADER = 'x-fescue-weights'
/** The header that names the set that a chunk is asked for. */
export const SET_HEADER = 'x-fescue-weight-set'
/** The header that names the asking instance. */
export const INSTANCE_HEADER = 'x-fescue-instance'
/** The header that names the region of the asking instance. */
export const REGION_HEADER = 'x-fescue-region'

/** Reads the header of news. */
export const decodeNews = Schemas.Decode.json(Schemas.Weights.SwarmNews)
