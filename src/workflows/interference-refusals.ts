/**
Explains why a worker with capacity gets no best-effort task: CPU that other best-effort tasks requested, or which evidence of
interference.
*/
import {type WorkflowStep} from '../types/workflows.ts';
import {EffectEvidence, type BestEffortInterference} from './best-effort-interference.ts';
import {
	getShareAtSpeeds, maxLoad, planSpeeds, type LatencyCriticalLoad,
} from './interference-throttling.ts';
import {addDemand, type Candidate} from './placement-candidates.ts';

/** What makes the gain of one more best-effort task too small on a worker. */
export enum RefusalCause {
	/** The best-effort tasks on the worker request the CPU that others leave, even without any interference. */
	Cpu = 'cpu',
	/** A latency-critical job has reported a load that leaves none for best-effort tasks. */
	Load = 'load',
	/** The effect of the image on the latency-critical image was measured by this owner, and recently. */
	MeasuredEffect = 'measured-effect',
	/** It was measured by this owner, too long ago to be relied on. */
	FadedEffect = 'faded-effect',
	/** It was restored from an earlier owner and not measured since. */
	RestoredEffect = 'restored-effect',
	/** It was never measured, so that a prior is assumed. */
	AssumedEffect = 'assumed-effect',
	/** Each latency-critical job alone would allow the task; together they do not. */
	Combined = 'combined',
}

const effectCauses: Record<EffectEvidence, RefusalCause> = {
	[EffectEvidence.Measured]: RefusalCause.MeasuredEffect,
	[EffectEvidence.Faded]: RefusalCause.FadedEffect,
	[EffectEvidence.Restored]: RefusalCause.RestoredEffect,
	[EffectEvidence.Assumed]: RefusalCause.AssumedEffect,
};

/** Gets the cause for a worker on which the gain of one more task of the step is below `minGain`. */
export const getRefusalCause = (spec: WorkflowStep, candidate: Candidate, {interference, minGain}: {interference: BestEffortInterference; minGain: number}): RefusalCause => {
	if (getGainBeside(spec, candidate, {loads: [], interference}) < minGain) {
		return RefusalCause.Cpu;
	}

	let worst: LatencyCriticalLoad | undefined;
	let worstGain = minGain;
	for (const load of candidate.latencyCriticalLoads) {
		const gain = getGainBeside(spec, candidate, {loads: [load], interference});
		if (gain < worstGain) {
			worst = load;
			worstGain = gain;
		}
	}

	if (!worst) {
		return RefusalCause.Combined;
	}

	return worst.load >= maxLoad ? RefusalCause.Load : effectCauses[interference.getEvidence(worst.image, spec.image ?? '')];
};

/** Gets the gain of one more task beside the given loads, as a share of its full speed. */
const getGainBeside = (
	spec: WorkflowStep,
	{demands, unusedShare, worker: {report}}: Candidate,
	{loads, interference}: {loads: LatencyCriticalLoad[]; interference: BestEffortInterference},
): number => {
	const {milliCpu} = report!;
	const getShare = (list: typeof demands): number => Math.min(unusedShare, getShareAtSpeeds(
		list,
		planSpeeds(loads, list, (latencyCriticalImage, bestEffortImage) => interference.getEffect(latencyCriticalImage, bestEffortImage)),
	));
	return (getShare(addDemand(demands, spec, milliCpu)) - getShare(demands)) * milliCpu / spec.milliCpu;
};
