/**
Bounds of what stored records may hold. A record beyond them was not written by this program, and following it would stop its readers: numbers that only
rise could not rise any further, and a job could not be held in memory.
*/

/** Distance of the run numbers of consecutive owners. Starts are not stored, so an owner cannot know which numbers the one before it gave. */
export const runsPerEpoch = 10_000;
/** Half of the integers that are exact remain for the numbers of later runs. */
export const maxRunNumber = 2 ** 52;
/** Highest epoch whose runs can be numbered. */
export const maxEpoch = Math.floor(maxRunNumber / runsPerEpoch);
/** Steps of a job, and tasks of all its steps together; of a stored job, which an earlier version may have accepted, tasks of each step. */
export const maxSteps = 1000;
export const maxTasks = 100_000;
