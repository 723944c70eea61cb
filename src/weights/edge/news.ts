/**
 * Request and response headers of chunk transfers. News is an agent's report of the chunks that it holds of a set.
 *
 * @packageDocumentation
 */
import * as Schemas from '../../schema/index.ts'

/** Header that carries the sender's news of a set. */
export const NEWS_HEADER = 'x-fescue-weights'
/** Header that names the set to which the requested chunk belongs. */
export const SET_HEADER = 'x-fescue-weight-set'
/** Header that names the requesting instance. */
export const INSTANCE_HEADER = 'x-fescue-instance'
/** Header that names the region of the requesting instance. */
export const REGION_HEADER = 'x-fescue-region'

/** Decodes the value of the news header. */
export const decodeNews = Schemas.Decode.json(Schemas.Weights.SwarmNews)
